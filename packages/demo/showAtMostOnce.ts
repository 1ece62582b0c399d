import { waitUntil } from "@clementinemux/system/waitUntil";

interface ServiceResponse {
  readonly status: number;
  /** Whether this is the recorded response of an earlier execution. */
  readonly isRecorded: boolean;
  readonly text: string;
}

const key = "order-7";

/** Sends a request that is not idempotent through two entries. Throws unless it is executed exactly once. */
export async function showAtMostOnce(
  entryUrls: readonly string[],
  serviceUrl: string,
  print: (text: string) => void,
): Promise<void> {
  const [firstUrl = "", secondUrl = ""] = entryUrls;
  const first = await waitUntil("response of the service", async () => {
    const response = await send(firstUrl);
    return response.status === 200 ? response : null;
  });
  const second = await waitUntil("response of the second entry", async () => {
    const response = await send(secondUrl);
    return response.status === 200 ? response : null;
  });
  for (const [url, { isRecorded, text }] of [
    [firstUrl, first],
    [secondUrl, second],
  ] as const) {
    print(`${url}: ${text}${isRecorded ? "  (recorded response)" : ""}`);
  }
  const executions = (await (await fetch(`${serviceUrl}/standin/executions`)).json()) as Record<
    string,
    number
  >;
  print(`executions of "${key}" at the service: ${executions[key] ?? 0}`);
  if (executions[key] !== 1) {
    throw new Error(`the request was executed ${executions[key] ?? 0} times instead of once`);
  }
  if (!second.isRecorded || second.text !== first.text) {
    throw new Error(`the second response is not the recorded first one: ${second.text}`);
  }
}

async function send(entryUrl: string): Promise<ServiceResponse> {
  const response = await fetch(`${entryUrl}/services/orders/book`, {
    method: "POST",
    headers: { "idempotency-key": key, "idempotency-mode": "once" },
    body: key,
  });
  const isRecorded = response.headers.get("clementinemux-recorded") === "true";
  return { status: response.status, isRecorded, text: await response.text() };
}
