#pragma once

#include <cstdio>
#include <cstdlib>

/// Stops the process when an invariant of the program itself is broken.
#define VERIFY(Condition)                                                      \
  do {                                                                         \
    if (!(Condition)) {                                                        \
      std::fprintf(stderr, "VERIFY failed: %s at %s:%d\n", #Condition,         \
                   __FILE__, __LINE__);                                        \
      std::abort();                                                            \
    }                                                                          \
  } while (false)
