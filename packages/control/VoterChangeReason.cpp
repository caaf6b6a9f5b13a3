#include "control/VoterChangeReason.h"

namespace lycheereach {

auto reasonText(VoterChangeReason reason) -> std::string
{
    switch (reason) {
    case VoterChangeReason::EmptyDisk:
        return "its disk is empty";
    case VoterChangeReason::Silent:
        return "it leaves heartbeats unanswered";
    case VoterChangeReason::TooFewVoters:
        return "there are fewer voters than wanted";
    case VoterChangeReason::TooManyVoters:
        return "there are more voters than wanted";
    case VoterChangeReason::UnevenZones:
        return "another zone has more voters";
    }
    return "unknown";
}

} // namespace lycheereach
