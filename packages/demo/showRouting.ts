import { waitUntil } from "@clementinemux/system/waitUntil";

interface Explanation {
  readonly revision: number;
  readonly decisions: readonly {
    readonly decision: string;
    readonly target: string | null;
    readonly candidates: readonly {
      readonly target: string;
      readonly scoreMs: number;
      readonly parts: Readonly<Record<string, number>>;
    }[];
  }[];
}

interface Chunk {
  readonly choices: readonly { readonly delta?: { readonly content?: string } }[];
}

const prompt = "Grade lot 7.";
const startDeadlineMs = 30_000;

/**
 * Streams a response through the whole fleet and prints how it was routed. Throws if the stream or its
 * explanation is incomplete.
 */
export async function showRouting(entryUrl: string, print: (text: string) => void): Promise<void> {
  const response = await waitUntil(
    "response of the entry",
    () => requestCompletion(entryUrl),
    startDeadlineMs,
  );
  const text = await response.text();
  if (!text.endsWith("data: [DONE]\n\n")) {
    throw new Error(`the response has no final event: ${text.slice(-200)}`);
  }
  const tokens = text
    .split("\n\n")
    .filter((event) => event.startsWith("data: {"))
    .map((event) => (JSON.parse(event.slice("data: ".length)) as Chunk).choices[0]?.delta?.content ?? "");
  print(`prompt: ${prompt}\nresponse: ${tokens.join("")}`);
  const requestId = response.headers.get("clementinemux-request") ?? "";
  const explanation = (await (await fetch(`${entryUrl}/v1/explain/${requestId}`)).json()) as Explanation;
  const [first] = explanation.decisions;
  if (first?.target === undefined || first.target === null || first.candidates.length === 0) {
    throw new Error(`the entry does not explain request ${requestId}: ${JSON.stringify(explanation)}`);
  }
  print(`request ${requestId}, revision ${explanation.revision}`);
  for (const { decision, target, candidates } of explanation.decisions) {
    print(`decision: ${decision}${target === null ? "" : ` to ${target}`}; candidates, lowest score first:`);
    for (const { target: name, scoreMs, parts } of candidates) {
      const shown = Object.entries(parts).map(([part, valueMs]) => `${part} ${valueMs.toFixed(1)}`);
      print(`  ${name}  score ${scoreMs.toFixed(1)} ms = ${shown.join(" + ")}`);
    }
  }
}

async function requestCompletion(entryUrl: string): Promise<Response | null> {
  const response = await fetch(`${entryUrl}/v1/chat/completions`, {
    method: "POST",
    body: JSON.stringify({
      model: "demo",
      messages: [{ role: "user", content: prompt }],
      max_tokens: 16,
      stream: true,
    }),
  });
  if (response.ok) {
    return response;
  }
  await response.text();
  return null;
}
