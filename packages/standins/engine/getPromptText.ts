import type { CompletionBody } from "./CompletionBody";

/** Returns the text for the model to continue. */
export function getPromptText(body: CompletionBody): string {
  if (body.prompt !== undefined) {
    return body.prompt;
  }
  const contents = (body.messages ?? []).map(({ content }) => content);
  if (body.continue_final_message !== true) {
    return `${contents.join("\n")}\n`;
  }
  return `${contents.slice(0, -1).join("\n")}\n${contents.at(-1) ?? ""}`;
}
