import type { StreamEventKind } from "./StreamEventKind";

/** One event of an engine's stream. Text is latin1 and preserves the received bytes. */
export type StreamEvent =
  | {
      readonly kind: StreamEventKind.Token;
      readonly tokenIndex: number;
      /**
       * Rest of the JSON object after the token index: a comma and further fields, or only the closing brace.
       */
      readonly tail: string;
      /** Finish reason, if the engine sends it with the last token; otherwise null. */
      readonly finishReason: string | null;
    }
  | {
      readonly kind: StreamEventKind.Final;
      readonly finishReason: string;
      /** Number of tokens of this attempt as reported by the engine; null when it reports none. */
      readonly tokenCount: number | null;
      /** Number of prompt tokens that the engine had cached; null when it reports none. */
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
