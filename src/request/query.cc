#include "request/query.h"

namespace bramleyspoke {

Verdict VerdictOf(const AttemptOutcome& outcome) {
  switch (outcome.result) {
    case AttemptResult::kAnswered:
      return Verdict::kRan;
    case AttemptResult::kRefused:
      return outcome.verdict;
    case AttemptResult::kNotSent:
      return Verdict::kNotRun;
    case AttemptResult::kLost:
    case AttemptResult::kTimedOut:
    case AttemptResult::kCancelled:
    case AttemptResult::kWrongAnswer:
      break;
  }
  return Verdict::kMayHaveRun;
}

}  // namespace bramleyspoke
