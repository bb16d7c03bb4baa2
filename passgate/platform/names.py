"""HTTP headers, URL paths, log topics and record keys that the platform defines."""

from __future__ import annotations

from passgate.gateway.header_names import HeaderNames

HEADERS = HeaderNames(
    request_id="X-Attempt-Id",
    deadline_ms="X-Deadline-Ms",
    expected_replica="X-Expect-Replica",
    replica_stamp="X-Replica-Stamp",
    replica_id="X-Replica-Id",
    replica_load="X-Replica-Load",
    not_executed="X-Not-Executed",
    weight_versions="X-Weight-Versions",
    expected_version="X-Expect-Version",
    last_event_id="Last-Event-Id",
    priority="X-Request-Priority",
    model="X-Model",
    length_hint="X-Length-Hint",
    prompt_parts="X-Prompt-Prefix",
    wait_ms="X-Wait-Ms",
    tenant="X-Tenant",
)

READY_PATH = "/-/ready"
JOB_PATH = "/-/lots/"
ITEM_PATH = "/-/items/"
REPORT_PATH = "/-/report"
ORDER_PATH = "/-/order"

USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
DUTY_HOLDER_HEADER = "X-Duty-Holder"
DUTY_FENCE_HEADER = "X-Fence-Token"
USAGE_DUTY = "usage"
SCALING_DUTY = "autoscale"

APPEND_PATH = "/-/log-append"
READ_PATH = "/-/log-read"
NEWEST_PATH = "/-/log-newest"
JOIN_PATH = "/-/log-join"
LEAVE_PATH = "/-/log-leave"
MEMBERS_PATH = "/-/log-owners"

OPERATOR_TOPIC = "keyed.op"
REPLICAS_TOPIC = "keyed.servers"
REPLICA_CHANGES_TOPIC = "passgate-replica-changes"
REPLICA_LIST_TOPIC = "keyed.passgate-replica-list"
JOBS_TOPIC = "passgate-jobs"
CONTROL_TOPIC = "passgate-control"
CRASHES_TOPIC = "keyed.passgate-crashes"
WATCH_GROUP = "passgate-watch"

CONFIGURATION_KEY = "config"
VERSION_KEY_PREFIX = "version/"
EVACUATION_KEY_PREFIX = "evacuate/"

SETTINGS_VARIABLE = "PASSGATE_BOOT"
SETTINGS_PATH = "/etc/passgate/node.yaml"
