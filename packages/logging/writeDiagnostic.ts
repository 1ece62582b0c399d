/** Writes a text for operators to standard error or output. It is lost when the stream cannot be written. */
export function writeDiagnostic(text: string, stream: NodeJS.WriteStream = process.stderr): void {
  if (!stream.listeners("error").includes(ignoreError)) {
    stream.on("error", ignoreError);
  }
  stream.write(text);
}

/** Without a listener, a write that fails would end the process. */
function ignoreError(): void {
  // There is no other place to report it.
}
