#include "cli/Command.h"

int main(int argc, char** argv)
{
    return lentiljunction::runProgram({ argv + 1, argv + argc });
}
