import { Just, Nothing } from "purify-ts/Maybe";
import type { Maybe } from "purify-ts/Maybe";
import type { Stamp } from "./Stamp";

/** Parses a stamp from a header value. */
export function parseStamp(text: string): Maybe<Stamp> {
  const match = /^([0-9a-f-]{1,64})\/(\d{1,15})$/.exec(text);
  const [, incarnation, issuedAtMs] = match ?? [];
  return incarnation === undefined ? Nothing : Just({ incarnation, issuedAtMs: Number(issuedAtMs) });
}
