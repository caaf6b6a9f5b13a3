#include "client/OperatorCommands.h"

#include "client/DeclarationFile.h"
#include "client/Problem.h"
#include "client/Session.h"
#include "state/OperationOutcome.h"

namespace lycheereach {

namespace {

constexpr auto success = 300;
constexpr auto inForcePollInterval = Duration(std::chrono::milliseconds(100));

auto timeoutOf(const Session &session) -> Duration
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(session.line_.timeoutSeconds_));
}

auto usage(Session &session, const std::string &problem) -> ExitCode
{
    session.console_.note("lycheereach: " + problem);
    return ExitCode::Usage;
}

/// The entries that the operation still waits for; nothing when it is in force.
auto waitingFor(Session &session, LogIndex index) -> Result<std::optional<std::string>>
{
    const auto response = session.caller_.get("/v1/admin/in-force?index=" + std::to_string(index));
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
    const auto began = hooks.clock_();
    auto waiting = std::string("an answer");
    while (hooks.clock_() - began < timeoutOf(session)) {
        const auto state = waitingFor(session, index);
        const auto passed = std::to_string(toMilliseconds(hooks.clock_() - began));
        if (state && !*state) {
            session.console_.text("in force: after " + passed + " ms");
            session.console_.json(Json{{"inForce", true}, {"afterMs", std::stoll(passed)}});
            return ExitCode::Ok;
        }
        waiting = state ? **state : state.failure().message_;
        hooks.sleep_(inForcePollInterval);
    }
    session.console_.json(Json{{"inForce", false}, {"waitingFor", waiting}});
    session.console_.note("accepted, but not in force in time; waiting for " + waiting);
    return ExitCode::NotInForce;
}

auto showConflict(Session &session, const OperationOutcome &outcome) -> ExitCode
{
    session.console_.text("conflict: the present version is " + std::to_string(outcome.version_)
                          + (outcome.message_.empty() ? "" : "; " + outcome.message_));
    for (const auto &difference : outcome.differences_)
        session.console_.text("  " + difference);
    return ExitCode::Conflict;
}

auto showOutcome(Session &session, const OperationOutcome &outcome) -> ExitCode
{
    session.console_.json(encode(outcome));
    switch (outcome.status_) {
    case OperationStatus::Conflict:
        return showConflict(session, outcome);
    case OperationStatus::Refused:
        session.console_.text("refused: " + outcome.message_);
        return ExitCode::Failed;
    case OperationStatus::Accepted:
        break;
    }
    session.console_.text("accepted: " + outcome.what_ + ", version "
                          + std::to_string(outcome.version_) + ", operation "
                          + outcome.operation_.text());
    if (!session.line_.wait_)
        return ExitCode::Ok;
    return waitUntilInForce(session, outcome.index_);
}

auto showFailure(Session &session, const std::string &operation, const Failure &failure) -> ExitCode
{
    session.console_.json(Json{{"operation", operation},
                               {"verdict", toString(failure.verdict_)},
                               {"message", failure.message_}});
    if (failure.verdict_ == Verdict::NotRun)
        session.console_.note("not run: " + failure.message_);
    else
        session.console_.note("may have run: " + failure.message_
                              + "; ask again with --operation-id " + operation);
    return ExitCode::Unreachable;
}

auto operate(Session &session, const char *target, Json body) -> ExitCode
{
    const auto operation
        = session.line_.operationId_.value_or(randomId(session.caller_.hooks(), "op-"));
    body["operation"] = operation;
    body["who"] = session.line_.who_;
    session.console_.note("operation " + operation);
    const auto answer = session.caller_.operate(target, body, timeoutOf(session));
    if (!answer)
        return showFailure(session, operation, answer.failure());
    const auto outcome = decodeText<OperationOutcome>(answer->response_.body_, "answer");
    if (outcome)
        return showOutcome(session, *outcome);
    if (answer->response_.status_ < success) {
        session.console_.text("accepted: operation " + operation);
        session.console_.json(Json{{"operation", operation}, {"status", "accepted"}});
        return ExitCode::Ok;
    }
    const auto problem = problemText(answer->response_);
    session.console_.json(
        Json{{"operation", operation}, {"status", "refused"}, {"message", problem}});
    session.console_.note("refused: " + problem);
    return ExitCode::Failed;
}

} // namespace

auto runApply(Session &session) -> ExitCode
{
    if (!session.line_.fromVersion_)
        return usage(session, "--from-version is missing; name the version that you changed");
    const auto declaration = loadDeclaration(session.line_.words_[1]);
    if (!declaration) {
        session.console_.note(declaration.failure().message_);
        return ExitCode::Failed;
    }
    return operate(
        session, "/v1/admin/apply",
        Json{{"fromVersion", *session.line_.fromVersion_}, {"declaration", encode(*declaration)}});
}

auto runZone(Session &session) -> ExitCode
{
    const auto &direction = session.line_.words_[1];
    if (direction != "out" && direction != "in")
        return usage(session, "expected 'zone out NAME' or 'zone in NAME'");
    return operate(session, "/v1/admin/zone",
                   Json{{"zone", session.line_.words_[2]}, {"out", direction == "out"}});
}

auto runUpstream(Session &session) -> ExitCode
{
    const auto &action = session.line_.words_[1];
    if (action != "drain" && action != "undrain")
        return usage(session, "expected 'upstream drain ID' or 'upstream undrain ID'");
    return operate(session, "/v1/admin/drain",
                   Json{{"upstream", session.line_.words_[2]}, {"draining", action == "drain"}});
}

auto runVoter(Session &session) -> ExitCode
{
    const auto &action = session.line_.words_[1];
    if (action != "add" && action != "remove")
        return usage(session, "expected 'voter add ID' or 'voter remove ID'");
    return operate(session, "/v1/admin/voters", Json{{action, session.line_.words_[2]}});
}

} // namespace lycheereach
