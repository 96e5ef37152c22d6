const pollInterval = 10;
const waitTimeout = 20_000;

/** Resolves once the condition holds; rejects if it does not become true. */
export async function waitUntil(isTrue: () => boolean, what: string): Promise<void> {
  for (let waited = 0; waited < waitTimeout; waited += pollInterval) {
    if (isTrue()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, pollInterval);
    });
  }
  throw new Error(`gave up waiting: ${what}`);
}
