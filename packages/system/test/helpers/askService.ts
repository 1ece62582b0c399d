interface ServiceAnswer {
  readonly status: number;
  readonly isRecorded: boolean;
  /** Outcome of a refusal or failure; empty for an answer, "cut" when the connection broke. */
  readonly outcome: string;
  readonly reason: string;
  readonly text: string;
}

/** Calls the plain service once with a key, which is also the body that its stand-in counts. */
export async function askService(url: string, key: string): Promise<ServiceAnswer> {
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
