/** Writes a text for operators to standard error. It is lost when standard error cannot be written. */
export function writeDiagnostic(text: string): void {
  if (!process.stderr.listeners("error").includes(ignoreError)) {
    process.stderr.on("error", ignoreError);
  }
  process.stderr.write(text);
}

/** Without a listener, a write that fails would end the process. */
function ignoreError(): void {
  // There is no other place to report it.
}
