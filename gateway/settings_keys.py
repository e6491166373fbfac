"""The keys of the settings text.

Each constant has the name of the field of `Settings`, or of a record in it, that it sets, unless noted.
"""

from __future__ import annotations

# Fields of Settings.
GATEWAY_INDEX = "me"
GATEWAY_COUNT = "peers_total"
ZONE = "az"
ZONES = "zones"
PERIOD = "period_s"
HAS_COUNTER = "extra.has_counter"
COUNTER_PRICE = "extra.counter_price"
COUNTER_TIMEOUT = "extra.counter_timeout_s"
SETTLES_USAGE = "extra.settles"
MEMBERSHIP_MODE = "membership_mode"  # membership_push: true if the value is MEMBERSHIP_PUSH
MEMBERSHIP_PUSH = "push"
WEIGHT_SOURCE = "weight_source"
REPORT_MODE = "report.how"
REPORT_COLUMNS = "report.columns"
PRICES_PREFIX = "penalties."  # prices: the rest of the key is the name of the price

# Fields of Rules.
ANSWER_SLACK = "rules.answer_slack_s"
DRAIN_GRACE = "rules.drain_grace_s"
COLD_CAPACITY_FRACTION = "rules.cold_share"
SLOW_START_TIME = "rules.warm_up_s"
COLD_OVERLOAD_MULTIPLE = "rules.fall_multiple"
COLD_OVERLOAD_WINDOW = "rules.fall_s"
POLL_WITHIN = "rules.ask_within_s"

# Fields of Limits.
MAX_ATTEMPTS = "caps.max_attempts"
MAY_HEDGE = "caps.second_copies"
MAY_CANCEL = "caps.cancel"
MAY_PROBE = "caps.may_probe"
MAY_TELL_RETRY_AFTER = "caps.retry_after"
MAX_RETRY_AFTER = "caps.max_retry_after_s"
CONNECT_TIMEOUT = "caps.connect_timeout_s"

# Fields of RequestClass: the number of classes, the key prefix of one class, and the keys after that prefix.
CLASS_COUNT = "classes.count"
CLASS_PREFIX = "classes.{index}."
CLASS_NAME = "name"
CLASS_LATENCY_OBJECTIVE = "goal_time_s"
CLASS_DEADLINE = "deadline_s"
CLASS_EFFECT = "effect"
CLASS_DEDUP_SCOPE = "dedup_scope"
CLASS_DEDUP_WINDOW = "memory_span_s"
CLASS_PRIORITY_WEIGHT = "worth"
CLASS_LATE_WEIGHT = "late_value"
CLASS_STREAM = "stream"

# Fields of Plan: the number of plans, the key prefix of one plan, and the keys after that prefix.
PLAN_COUNT = "tariffs.count"
PLAN_PREFIX = "tariffs.{index}."
PLAN_NAME = "name"
PLAN_RATE = "quota_rate"
PLAN_BURST = "peak_units"
PLAN_MAX_CONCURRENCY = "parallel"
PLAN_PRICE_WEIGHT = "pays"
PLAN_OVER_QUOTA_COST = "over_cost"
PLAN_OVER_QUOTA_WEIGHT = "beyond_earns"
PLAN_CEILING_RATE = "never_over_rate"
PLAN_CEILING_BURST = "hard_burst"
PLAN_CEILING_SLACK = "ceiling_slack"
