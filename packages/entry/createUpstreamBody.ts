import type { ModelRequest } from "./ModelRequest";

/**
 * Creates the body that an engine gets. Engines always stream, also for a caller who wants one JSON answer, so
 * that such an answer can be resumed too. With `sentText`, the engine continues after it: the text becomes the
 * start of the answer, and the token limit is lowered by the tokens it holds.
 */
export function createUpstreamBody(request: ModelRequest, sentText: string, sentTokenCount: number): string {
  const body: Record<string, unknown> = {
    ...request.body,
    stream: true,
    max_tokens: request.maxTokenCount - sentTokenCount,
  };
  if (sentTokenCount === 0) {
    return JSON.stringify(body);
  }
  if (!request.isChat) {
    return JSON.stringify({ ...body, prompt: `${String(request.body.prompt)}${sentText}` });
  }
  const messages = request.body.messages as readonly unknown[];
  return JSON.stringify({
    ...body,
    messages: [...messages, { role: "assistant", content: sentText }],
    add_generation_prompt: false,
    continue_final_message: true,
  });
}
