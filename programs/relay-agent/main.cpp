#include "galenarelay/common/log.h"
#include "galenarelay/common/program.h"
#include "galenarelay/node/relay_agent.h"
#include "galenarelay/node/relay_program.h"
#include "platform/platform.h"

namespace galenarelay {

namespace {

constexpr node::RelayProgram<node::RelayAgentOptions> Program{
    "galenarelay-relay-agent", "Serves the relayed flows of the upstream on the same instance.",
    node::relayAgentSettingRules, node::relayAgentOptionsFrom};

} // namespace

} // namespace galenarelay

int main(int ArgumentCount, char **Arguments) {
  using namespace galenarelay;
  return node::runRelayProgram<node::RelayAgent<platform::Platform>>(Program, ArgumentCount,
                                                                     Arguments);
}
