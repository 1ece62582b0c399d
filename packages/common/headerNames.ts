/** HTTP headers between entry, agent, target and caller. Lower case, as Node reports them. */
export const headerNames = {
  requestId: "clementinemux-request",
  attemptId: "clementinemux-attempt",
  /** Agent's stamp, echoed by the entry; see design section 7. */
  stamp: "clementinemux-stamp",
  /** Highest configuration revision that the sender has applied. */
  revision: "clementinemux-revision",
  team: "clementinemux-team",
  priority: "clementinemux-priority",
  deadlineMs: "clementinemux-deadline-ms",
  /** Set by an agent on an answer of its own, so that it is not taken for the target's. */
  refusedBy: "clementinemux-refused-by",
  idempotencyKey: "idempotency-key",
  idempotencyMode: "idempotency-mode",
  idempotencyCreated: "idempotency-created",
} as const;
