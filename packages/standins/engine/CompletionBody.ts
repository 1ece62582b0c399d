/** Body of a completion request; only the fields that the stand-in engine reads. */
export interface CompletionBody {
  readonly model?: string;
  readonly messages?: readonly { readonly role?: string; readonly content: string }[];
  readonly prompt?: string;
  readonly max_tokens?: number;
  readonly seed?: number;
  readonly temperature?: number;
  /** Whether the last message is the start of the response, to be continued. */
  readonly continue_final_message?: boolean;
}
