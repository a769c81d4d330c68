#pragma once

#include "LibTypes/verify.h"

#include <mutex>

namespace azurehaven {

/// Lock order of the shared tables: a thread may acquire a lock only if each
/// lock that it already holds has a lower rank. No ranked lock is held during
/// I/O.
enum class lock_rank : int {
  Configuration = 10,
  Membership = 20,
  Router = 30,
  PromptCrashes = 35,
  Ledger = 40,
  Claims = 50,
  Records = 60,
};

/// A mutex that aborts the process if acquired or released out of rank order.
class ranked_mutex {
public:
  explicit ranked_mutex(lock_rank Rank) : Rank(static_cast<int>(Rank)) {}

  void lock() {
    VERIFY(HighestHeldRank < Rank);
    Mutex.lock();
    PreviousRank = HighestHeldRank;
    HighestHeldRank = Rank;
  }

  void unlock() {
    VERIFY(HighestHeldRank == Rank);
    HighestHeldRank = PreviousRank;
    Mutex.unlock();
  }

private:
  inline static thread_local int HighestHeldRank = 0;

  std::mutex Mutex;
  const int Rank;
  int PreviousRank = 0;
};

} // namespace azurehaven
