/** Body of a completion request, as far as the stand-in engine reads it. */
export interface CompletionBody {
  readonly model?: string;
  readonly messages?: readonly { readonly role?: string; readonly content: string }[];
  readonly prompt?: string;
  readonly max_tokens?: number;
  readonly seed?: number;
  readonly temperature?: number;
  /** The last message is the start of the answer. */
  readonly continue_final_message?: boolean;
}
