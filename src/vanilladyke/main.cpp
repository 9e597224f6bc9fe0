#include "vanilladyke/app/command_line.hpp"

int main(int argc, char **argv)
{
    return vanilladyke::runCommandLine(argc, argv);
}
