/* global setTimeout, process, performance */
/** Helpers that the scripts of the cases share. */
import { writeFileSync } from 'node:fs';
import { createServer } from 'node:net';

/** Whether the script plays the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Exit codes of a script. */
export const verdicts = { held: 0, broken: 1, failedToRun: 2 };

const startedAt = performance.now();

/** Milliseconds since the script started. */
export function now() {
  return Math.round(performance.now() - startedAt);
}

export function sleep(delay) {
  return new Promise((resolve) => {
    setTimeout(resolve, delay);
  });
}

/** Waits until `check` returns something truthy; throws after `limit` milliseconds. */
export async function waitFor(what, check, limit = 20_000) {
  const end = now() + limit;
  for (;;) {
    const value = await check();
    if (value) return value;
    if (now() > end) throw new Error(`gave up waiting for: ${what}`);
    await sleep(50);
  }
}

/** Loopback addresses of this run, so that runs beside each other do not meet. */
const [second, third] = [1 + Math.floor(Math.random() * 250), Math.floor(Math.random() * 250)];

/** Loopback address with this last number. */
export function loopback(last) {
  return `127.${second}.${third}.${last}`;
}

/** Free port of a loopback address. */
export function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** What was sent, answered and run, in the order in which the script saw it. */
export class Record {
  lines = [];

  constructor(file) {
    this.file = file;
  }

  add(what, fields = {}) {
    const values = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
    this.lines.push(`${String(now()).padStart(6)} ms  ${what}  ${values.join(' ')}`.trimEnd());
  }

  save() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/**
 * Runs a case: `play` gets the record and a function that registers what must be ended, and returns whether the rule was
 * broken, with one line that says why.
 */
export async function runCase(file, play) {
  const record = new Record(file);
  const endings = [];
  let code = verdicts.failedToRun;
  try {
    record.add('start', { disruption: hasTrouble ? 'yes' : 'no' });
    const { isBroken, why } = await play(record, (end) => endings.push(end));
    code = isBroken ? verdicts.broken : verdicts.held;
    record.add(isBroken ? 'THE RULE WAS BROKEN' : 'the rule held', { why: `"${why}"` });
    process.stdout.write(`${isBroken ? 'broken' : 'held'}: ${why}\n`);
  } catch (error) {
    record.add('the case could not run', { error: `"${error.message}"` });
    process.stdout.write(`could not run: ${error.stack}\n`);
  }
  endings.reverse().forEach((end) => end());
  record.save();
  process.exit(code);
}
