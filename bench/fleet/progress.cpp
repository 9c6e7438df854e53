#include "progress.h"

#include <iomanip>
#include <iostream>

auto Progress::print(const std::string &text) const -> void
{
    const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - this->begin;
    std::cout << std::fixed << std::setprecision(0) << std::setw(4) << passed.count() << " s  "
              << text << std::endl;
}
