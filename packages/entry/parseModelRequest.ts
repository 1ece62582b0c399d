import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import * as z from "zod";
import { hashString } from "@clementinemux/common/hashString";
import type { ModelRequest } from "./ModelRequest";
import { charactersPerToken } from "./charactersPerToken";
import { prefixBlockCharacters } from "./prefixBlockCharacters";

const defaultMaxTokenCount = 256;
// Later blocks are not used for affinity, because the prefix that long prompts share is at the start.
const maxPrefixBlocks = 32;

const messageSchema = z.looseObject({ role: z.string(), content: z.string() });

const bodySchema = z.looseObject({
  model: z.string().min(1).max(256),
  adapter: z.string().max(256).optional(),
  messages: z.array(messageSchema).min(1).optional(),
  prompt: z.string().optional(),
  max_tokens: z.number().int().min(1).max(1_000_000).optional(),
  temperature: z.number().min(0).max(10).optional(),
  seed: z.number().int().optional(),
  stream: z.boolean().optional(),
  // Only one choice is supported, because token indexes count the tokens of a single choice.
  n: z.literal(1).optional(),
});

/** Parses the body of a model request. The error is a message for the caller. */
export function parseModelRequest(path: string, text: string): Either<string, ModelRequest> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return Left("request body is not valid JSON");
  }
  const parsed = bodySchema.safeParse(json);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return Left(`${issue?.path.join(".") ?? "body"}: ${issue?.message ?? "not valid"}`);
  }
  const body = parsed.data;
  const isChat = path === "/v1/chat/completions";
  if (isChat ? body.messages === undefined : body.prompt === undefined) {
    return Left(isChat ? "messages: missing" : "prompt: missing");
  }
  const prompt = isChat
    ? (body.messages ?? []).map(({ role, content }) => `${role}\n${content}`).join("\n")
    : (body.prompt ?? "");
  return Right({
    path,
    isChat,
    model: body.model,
    adapter: body.adapter ?? "",
    stream: body.stream ?? false,
    maxTokenCount: body.max_tokens ?? defaultMaxTokenCount,
    promptTokenCount: Math.ceil(prompt.length / charactersPerToken),
    prefixHashes: getPrefixHashes(prompt),
    deterministic: body.temperature === 0 || body.seed !== undefined,
    body,
  });
}

function getPrefixHashes(prompt: string): number[] {
  const hashes: number[] = [];
  let previous = 0;
  const blockCount = Math.min(Math.floor(prompt.length / prefixBlockCharacters), maxPrefixBlocks);
  for (let block = 0; block < blockCount; block += 1) {
    const start = block * prefixBlockCharacters;
    previous = hashString(`${previous}|${prompt.slice(start, start + prefixBlockCharacters)}`);
    hashes.push(previous);
  }
  return hashes;
}
