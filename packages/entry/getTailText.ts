interface TokenChunk {
  readonly choices?: readonly {
    readonly text?: string;
    readonly delta?: { readonly content?: string };
  }[];
}

/** Returns the text of a token from the tail of its event, see `StreamEvent`. */
export function getTailText(tail: string): string {
  const json = Buffer.from(`{"token_index":0${tail}`, "latin1").toString("utf8");
  const [choice] = (JSON.parse(json) as TokenChunk).choices ?? [];
  return choice?.text ?? choice?.delta?.content ?? "";
}
