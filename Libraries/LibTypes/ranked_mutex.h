#pragma once

#include "LibTypes/verify.h"

#include <mutex>

namespace azurehaven {

/// The order in which one thread may take the locks of shared tables: a lock
/// may be taken only while every lock already held has a lower rank. No lock
/// of this kind is held over I/O.
enum class lock_rank : int {
  Configuration = 10,
  Membership = 20,
  Router = 30,
  Ledger = 40,
  Claims = 50,
  Records = 60,
};

/// A mutex that stops the process when the lock order is broken.
class ranked_mutex {
public:
  explicit ranked_mutex(lock_rank Rank) : Rank(static_cast<int>(Rank)) {}

  void lock() {
    VERIFY(HighestHeldRank < Rank);
    Mutex.lock();
    RankBefore = HighestHeldRank;
    HighestHeldRank = Rank;
  }

  void unlock() {
    VERIFY(HighestHeldRank == Rank);
    HighestHeldRank = RankBefore;
    Mutex.unlock();
  }

private:
  inline static thread_local int HighestHeldRank = 0;

  std::mutex Mutex;
  const int Rank;
  int RankBefore = 0;
};

} // namespace azurehaven
