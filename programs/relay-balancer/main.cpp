#include "galenarelay/common/log.h"
#include "galenarelay/common/program.h"
#include "galenarelay/node/relay_balancer.h"
#include "galenarelay/node/relay_program.h"
#include "platform/platform.h"

namespace galenarelay {

namespace {

constexpr node::RelayProgram<node::RelayOptions> Program{
    "galenarelay-relay-balancer", "Places relayed flows and forwards their packets to agents.",
    node::relaySettingRules, node::relayOptionsFrom};

} // namespace

} // namespace galenarelay

int main(int ArgumentCount, char **Arguments) {
  using namespace galenarelay;
  return node::runRelayProgram<node::RelayBalancer<platform::Platform>>(Program, ArgumentCount,
                                                                        Arguments);
}
