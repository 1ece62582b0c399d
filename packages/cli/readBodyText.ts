import type { Readable } from "node:stream";
import { collectBody } from "@clementinemux/wire/collectBody";

/** Several times the largest configuration. */
const maxResponseBytes = 67_108_864;

/** Resolves with the body of a response as text. Rejects when it is too long. */
export async function readBodyText(body: Readable): Promise<string> {
  return (await collectBody(body, maxResponseBytes)).toString("utf8");
}
