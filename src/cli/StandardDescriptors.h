#pragma once

namespace lentiljunction {

/// Opens /dev/null in the place of standard input, output and error where one of them is closed. Otherwise the next file or
/// socket would get its number, and log lines would be written to it. Call it before anything else is opened.
void openStandardDescriptors();

} // namespace lentiljunction
