import type { ModelRequest } from "./ModelRequest";

/**
 * Creates the request body for an engine. Engines always stream, even for a caller who requested one JSON
 * response, so that such a response can be resumed too. When tokens were already sent, `sentText` becomes the
 * start of the response, the engine continues after it, and the token limit is reduced by `sentTokenCount`.
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
