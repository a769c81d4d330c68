#pragma once

#include "LibServer/http_server.h"
#include "LibTypes/network_address.h"

#include <memory>

namespace azurehaven {

/// Network links between processes. A link forwards TCP from one address to
/// another. A cut link forwards nothing and keeps its connections open; healing
/// it closes them. POST /links {"name","listen","target"}, /cut {"name"}, /heal
/// {"name"}; a name ending in '*' selects all links with that prefix.
class link_stand_in {
public:
  link_stand_in();
  ~link_stand_in();
  served_response control(const served_request &Request);

private:
  class link;
  class state;
  std::unique_ptr<state> State;
};

} // namespace azurehaven
