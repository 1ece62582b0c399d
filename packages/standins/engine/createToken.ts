import { hashString } from "@clementinemux/common/hashString";

const words = [
  "sleeper",
  "oak",
  "concrete",
  "stool",
  "yard",
  "quote",
  "stock",
  "grade",
  "bolt",
  "rail",
] as const;

/** Returns the token at a position. The same prompt and seed give the same tokens on every engine. */
export function createToken(prompt: string, seed: number, position: number): string {
  const word = words[hashString(`${prompt}|${seed}|${position}`) % words.length] ?? words[0];
  return `${word}${position} `;
}
