#include "client/OperatorCommands.h"

#include "client/DeclarationFile.h"
#include "client/Problem.h"
#include "client/Session.h"
#include "state/OperationOutcome.h"

namespace lycheereach {

namespace {

constexpr auto firstNonSuccessStatus = 300;
constexpr auto inForcePollInterval = Duration(std::chrono::milliseconds(100));

auto commandTimeout(const Session &session) -> Duration
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(session.commandLine_.timeoutSeconds_));
}

auto reportUsageError(Session &session, const std::string &problem) -> ExitCode
{
    session.console_.writeDiagnostic("lycheereach: " + problem);
    return ExitCode::Usage;
}

/// JSON array of the entries where the operation at log position \a index is not yet in force;
/// nullopt when it is in force everywhere.
auto fetchEntriesNotInForce(Session &session, LogIndex index) -> Result<std::optional<std::string>>
{
    const auto response
        = session.caller_.getFromAny("/v1/admin/in-force?index=" + std::to_string(index));
    if (!response)
        return response.failure();
    const auto answer = parseJson(response->body_, "answer");
    if (!answer || !answer->is_object())
        return Failure{Error::WrongAnswer, "the answer is not a JSON object"};
    if (answer->value("inForce", false))
        return std::optional<std::string>{};
    return std::optional<std::string>(answer->value("waitingFor", Json::array()).dump());
}

auto waitUntilInForce(Session &session, LogIndex index) -> ExitCode
{
    const auto &hooks = session.caller_.hooks();
    const auto startTime = hooks.clock_();
    auto waitReason = std::string("an answer");
    while (hooks.clock_() - startTime < commandTimeout(session)) {
        const auto notInForce = fetchEntriesNotInForce(session, index);
        const auto elapsedMs = std::to_string(toMilliseconds(hooks.clock_() - startTime));
        if (notInForce && !*notInForce) {
            session.console_.writeLine("in force: after " + elapsedMs + " ms");
            session.console_.writeJson(Json{{"inForce", true}, {"afterMs", std::stoll(elapsedMs)}});
            return ExitCode::Ok;
        }
        waitReason = notInForce ? **notInForce : notInForce.failure().message_;
        hooks.sleep_(inForcePollInterval);
    }
    session.console_.writeJson(Json{{"inForce", false}, {"waitingFor", waitReason}});
    session.console_.writeDiagnostic("accepted, but not in force in time; waiting for "
                                     + waitReason);
    return ExitCode::NotInForce;
}

auto showConflict(Session &session, const OperationOutcome &outcome) -> ExitCode
{
    session.console_.writeLine("conflict: the present version is "
                               + std::to_string(outcome.version_)
                               + (outcome.message_.empty() ? "" : "; " + outcome.message_));
    for (const auto &difference : outcome.differences_)
        session.console_.writeLine("  " + difference);
    return ExitCode::Conflict;
}

auto showOutcome(Session &session, const OperationOutcome &outcome) -> ExitCode
{
    session.console_.writeJson(encode(outcome));
    switch (outcome.status_) {
    case OperationStatus::Conflict:
        return showConflict(session, outcome);
    case OperationStatus::Refused:
        session.console_.writeLine("refused: " + outcome.message_);
        return ExitCode::Failed;
    case OperationStatus::Accepted:
        break;
    }
    session.console_.writeLine("accepted: " + outcome.what_ + ", version "
                               + std::to_string(outcome.version_) + ", operation "
                               + outcome.operation_.text());
    if (!session.commandLine_.wait_)
        return ExitCode::Ok;
    return waitUntilInForce(session, outcome.index_);
}

auto showFailure(Session &session, const std::string &operation, const Failure &failure) -> ExitCode
{
    session.console_.writeJson(Json{{"operation", operation},
                                    {"verdict", toString(failure.verdict_)},
                                    {"message", failure.message_}});
    if (failure.verdict_ == Verdict::NotRun)
        session.console_.writeDiagnostic("not run: " + failure.message_);
    else
        session.console_.writeDiagnostic("may have run: " + failure.message_
                                         + "; ask again with --operation-id " + operation);
    return ExitCode::Unreachable;
}

auto submitOperation(Session &session, const char *target, Json body) -> ExitCode
{
    const auto operation
        = session.commandLine_.operationId_.value_or(randomId(session.caller_.hooks(), "op-"));
    body["operation"] = operation;
    body["who"] = session.commandLine_.operatorName_;
    session.console_.writeDiagnostic("operation " + operation);
    const auto answer = session.caller_.submitOperation(target, body, commandTimeout(session));
    if (!answer)
        return showFailure(session, operation, answer.failure());
    const auto outcome = decodeText<OperationOutcome>(answer->response_.body_, "answer");
    if (outcome)
        return showOutcome(session, *outcome);
    if (answer->response_.status_ < firstNonSuccessStatus) {
        session.console_.writeLine("accepted: operation " + operation);
        session.console_.writeJson(Json{{"operation", operation}, {"status", "accepted"}});
        return ExitCode::Ok;
    }
    const auto problem = problemText(answer->response_);
    session.console_.writeJson(
        Json{{"operation", operation}, {"status", "refused"}, {"message", problem}});
    session.console_.writeDiagnostic("refused: " + problem);
    return ExitCode::Failed;
}

} // namespace

auto runApply(Session &session) -> ExitCode
{
    if (!session.commandLine_.fromVersion_)
        return reportUsageError(session,
                                "--from-version is missing; name the version that you changed");
    const auto declaration = loadDeclaration(session.commandLine_.positionalArguments_[1]);
    if (!declaration) {
        session.console_.writeDiagnostic(declaration.failure().message_);
        return ExitCode::Failed;
    }
    return submitOperation(session, "/v1/admin/apply",
                           Json{{"fromVersion", *session.commandLine_.fromVersion_},
                                {"declaration", encode(*declaration)}});
}

auto runZone(Session &session) -> ExitCode
{
    const auto &direction = session.commandLine_.positionalArguments_[1];
    if (direction != "out" && direction != "in")
        return reportUsageError(session, "expected 'zone out NAME' or 'zone in NAME'");
    return submitOperation(
        session, "/v1/admin/zone",
        Json{{"zone", session.commandLine_.positionalArguments_[2]}, {"out", direction == "out"}});
}

auto runUpstream(Session &session) -> ExitCode
{
    const auto &action = session.commandLine_.positionalArguments_[1];
    if (action != "drain" && action != "undrain")
        return reportUsageError(session, "expected 'upstream drain ID' or 'upstream undrain ID'");
    return submitOperation(session, "/v1/admin/drain",
                           Json{{"upstream", session.commandLine_.positionalArguments_[2]},
                                {"draining", action == "drain"}});
}

auto runVoter(Session &session) -> ExitCode
{
    const auto &action = session.commandLine_.positionalArguments_[1];
    if (action != "add" && action != "remove")
        return reportUsageError(session, "expected 'voter add ID' or 'voter remove ID'");
    return submitOperation(session, "/v1/admin/voters",
                           Json{{action, session.commandLine_.positionalArguments_[2]}});
}

} // namespace lycheereach
