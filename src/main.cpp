#include "../platform/PlatformAdapter.h"
#include "cli/Command.h"

int main(int argc, char** argv)
{
    lentiljunction::PlatformAdapter adapter;
    return lentiljunction::runProgram({ argv + 1, argv + argc }, adapter);
}
