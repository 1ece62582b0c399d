interface ServiceResult {
  readonly status: number;
  readonly isRecorded: boolean;
  /**
   * Outcome of a refusal or failure; empty for a response of the service, "cut" when the connection failed.
   */
  readonly outcome: string;
  readonly reason: string;
  readonly text: string;
}

/**
 * Calls the plain service once with an idempotency key. The key is also the body, by which the stand-in
 * counts executions.
 */
export async function callService(url: string, key: string): Promise<ServiceResult> {
  try {
    const response = await fetch(`${url}/services/orders/run`, {
      method: "POST",
      headers: { "idempotency-key": key, "idempotency-mode": "once" },
      body: key,
      signal: AbortSignal.timeout(30_000),
    });
    const text = await response.text();
    const isProblem = response.headers.get("content-type")?.includes("problem") === true;
    const problem = isProblem ? (JSON.parse(text) as { outcome: string; reason: string }) : null;
    return {
      status: response.status,
      isRecorded: response.headers.get("clementinemux-recorded") === "true",
      outcome: problem?.outcome ?? "",
      reason: problem?.reason ?? "",
      text,
    };
  } catch (error) {
    return { status: 0, isRecorded: false, outcome: "cut", reason: String(error), text: "" };
  }
}
