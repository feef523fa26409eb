#include "wigeonwallctl/command.h"

#include <iostream>

int main(int Count, char **Words) {
  return wigeonwall::ctl::runCommand({Words + 1, Words + Count},
                                     {std::cout, std::cerr});
}
