#pragma once

#include <cstdio>
#include <cstdlib>

/// Aborts the process if an invariant of the program is violated.
#define VERIFY(Condition)                                                      \
  do {                                                                         \
    if (!(Condition)) {                                                        \
      std::fprintf(stderr, "VERIFY failed: %s at %s:%d\n", #Condition,         \
                   __FILE__, __LINE__);                                        \
      std::abort();                                                            \
    }                                                                          \
  } while (false)
