import { request as requestHttp } from "undici";
import { TokenSource } from "@clementinemux/standins/engine/TokenSource";

interface RequestOptions {
  readonly body?: Readonly<Record<string, unknown>>;
  readonly headers?: Readonly<Record<string, string>>;
  readonly tokenCount?: number;
}

interface ModelResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
  readonly tokens: readonly string[];
  readonly indexes: readonly number[];
  readonly isComplete: boolean;
  /** Data of the error event, or the body of an error response. */
  readonly problem: { readonly reason: string; readonly outcome: string } | null;
  /** Tokens of the correct response to a seeded request. */
  readonly expected: readonly string[];
}

interface Chunk {
  readonly token_index?: number;
  readonly choices: readonly { readonly delta: { readonly content?: string } }[];
}

/** Requests a seeded stream from the model and parses the response. */
export async function requestModel(
  url: string,
  prompt: string,
  options: RequestOptions = {},
): Promise<ModelResponse> {
  const { tokenCount = 20 } = options;
  const response = await requestHttp(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: { "content-type": "application/json", ...options.headers },
    body: JSON.stringify({
      model: "demo",
      messages: [{ role: "user", content: prompt }],
      max_tokens: tokenCount,
      seed: 7,
      stream: true,
      ...options.body,
    }),
  });
  const text = await response.body.text();
  const events = text.split("\n\n").filter((event) => event !== "");
  const chunks = events
    .filter((event) => event.startsWith("data: {"))
    .map((event) => JSON.parse(event.slice("data: ".length)) as Chunk)
    .filter((chunk) => chunk.token_index !== undefined);
  const error = events.find((event) => event.startsWith("event: error"));
  const problemText = response.statusCode === 200 ? error?.split("data: ")[1] : text;
  const source = new TokenSource(`${prompt}\n`, 7);
  return {
    status: response.statusCode,
    headers: response.headers,
    text,
    tokens: chunks.map(({ choices }) => choices[0]?.delta.content ?? ""),
    indexes: chunks.map((chunk) => chunk.token_index ?? -1),
    isComplete: text.endsWith("data: [DONE]\n\n"),
    problem: problemText === undefined ? null : (JSON.parse(problemText) as ModelResponse["problem"]),
    expected: Array.from({ length: tokenCount }, () => source.next()),
  };
}
