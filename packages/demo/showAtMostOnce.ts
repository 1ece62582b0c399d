import { waitUntil } from "@clementinemux/system/waitUntil";

interface Call {
  readonly status: number;
  readonly isRecorded: boolean;
  readonly text: string;
}

const key = "order-7";

/** Sends a non-repeatable request through two entries. Throws unless it ran exactly once. */
export async function showAtMostOnce(
  entryUrls: readonly string[],
  serviceUrl: string,
  print: (text: string) => void,
): Promise<void> {
  const [firstUrl = "", secondUrl = ""] = entryUrls;
  const first = await waitUntil("answer of the service", async () => {
    const call = await send(firstUrl);
    return call.status === 200 ? call : null;
  });
  const second = await waitUntil("answer of the second entry", async () => {
    const call = await send(secondUrl);
    return call.status === 200 ? call : null;
  });
  for (const [url, { isRecorded, text }] of [
    [firstUrl, first],
    [secondUrl, second],
  ] as const) {
    print(`${url}: ${text}${isRecorded ? "  (recorded answer)" : ""}`);
  }
  const executions = (await (await fetch(`${serviceUrl}/standin/executions`)).json()) as Record<
    string,
    number
  >;
  print(`executions of "${key}" at the service: ${executions[key] ?? 0}`);
  if (executions[key] !== 1) {
    throw new Error(`the request ran ${executions[key] ?? 0} times instead of once`);
  }
  if (!second.isRecorded || second.text !== first.text) {
    throw new Error(`the second answer is not the recorded first one: ${second.text}`);
  }
}

async function send(entryUrl: string): Promise<Call> {
  const response = await fetch(`${entryUrl}/services/orders/book`, {
    method: "POST",
    headers: { "idempotency-key": key, "idempotency-mode": "once" },
    body: key,
  });
  const isRecorded = response.headers.get("clementinemux-recorded") === "true";
  return { status: response.status, isRecorded, text: await response.text() };
}
