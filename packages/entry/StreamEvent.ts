import type { StreamEventKind } from "./StreamEventKind";

/** One event of an engine's stream. Text is latin1 and holds the bytes as received. */
export type StreamEvent =
  | {
      readonly kind: StreamEventKind.Token;
      readonly tokenIndex: number;
      /** Rest of the JSON object after the token index, starting with a comma. */
      readonly tail: string;
      /** Finish reason when the engine puts it on the last token. */
      readonly finishReason: string | null;
    }
  | {
      readonly kind: StreamEventKind.Final;
      readonly finishReason: string;
      /** Tokens of this attempt by the engine's count; null when it states none. */
      readonly tokenCount: number | null;
      /** Prompt tokens that the engine had in its cache; null when it states none. */
      readonly cachedTokenCount: number | null;
    }
  | {
      readonly kind:
        | StreamEventKind.Done
        | StreamEventKind.Error
        | StreamEventKind.Foreign
        | StreamEventKind.Empty
        | StreamEventKind.Malformed;
    };
