#pragma once

#include "LibTypes/strong_id.h"

namespace azurehaven {

using vm_id = strong_id<struct vm_tag>;
using failure_domain_id = strong_id<struct failure_domain_tag>;
using client_account_id = strong_id<struct client_account_tag>;
using endpoint_id = strong_id<struct endpoint_tag>;
using class_id = strong_id<struct class_tag>;
using model_id = strong_id<struct model_tag>;
/// Names one version of one model, written "model@version".
using version_id = strong_id<struct version_tag>;
using service_id = strong_id<struct service_tag>;
using request_id = strong_id<struct request_tag>;
using change_id = strong_id<struct change_tag>;

} // namespace azurehaven
