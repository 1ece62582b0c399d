/** HTTP headers between entry, agent, target and caller. Lower case, as Node reports them. */
export const headerNames = {
  requestId: "clementinemux-request",
  attemptId: "clementinemux-attempt",
  /** Stamp issued by the agent and echoed by the entry; see section 7 of the design. */
  stamp: "clementinemux-stamp",
  /** Highest configuration revision that the sender has applied. */
  revision: "clementinemux-revision",
  team: "clementinemux-team",
  priority: "clementinemux-priority",
  deadlineMs: "clementinemux-deadline-ms",
  /** Set by an agent on a response of its own, to distinguish it from a response of the target. */
  refusedBy: "clementinemux-refused-by",
  /** Set by an agent on its response to a request whose connection to the target broke. */
  targetLost: "clementinemux-target-lost",
  idempotencyKey: "idempotency-key",
  idempotencyMode: "idempotency-mode",
  idempotencyCreated: "idempotency-created",
} as const;
