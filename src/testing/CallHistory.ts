/** What a caller has asked for. */
interface Asked {
  readonly isRepeatable: boolean;
  /** Times at which targets began to run it, in milliseconds. */
  readonly starts: number[];
  answer: CallerAnswer | undefined;
}

/** What a caller got; a connection that was closed is no answer. */
export interface CallerAnswer {
  readonly status: number;
  readonly body: string;
  /** Whether the answer bears the proof of a target. */
  readonly isSigned: boolean;
}

/** Statuses that promise that a request has not run and never will. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const notFound = 404;
const firstError = 300;

/** Body of the answer to a request, by which the caller knows a whole one of its own. */
export function expectedBody(id: string): string {
  return `${id}:${'x'.repeat(1_000)}:end`;
}

/** Collects what callers and targets saw, and tells which promises were broken. */
export class CallHistory {
  private readonly asked = new Map<string, Asked>();

  /** Time of the acknowledgement by target. */
  private readonly leaving = new Map<string, number>();

  private readonly found: string[] = [];

  /** `drain`: milliseconds after the acknowledgement of a farewell in which a target may still get work. */
  public constructor(private readonly drain: number) {}

  /** Number of requests that callers sent. */
  public get size(): number {
    return this.asked.size;
  }

  /** Number of requests with a whole answer of a target. */
  public get served(): number {
    return [...this.asked.values()].filter(({ answer }) => answer?.status === 200).length;
  }

  /** A caller sends a request. */
  public ask(id: string, isRepeatable: boolean): void {
    this.asked.set(id, { isRepeatable, starts: [], answer: undefined });
  }

  /** A target begins to run a request. */
  public start(id: string, target: string, time: number): void {
    const left = this.leaving.get(target);
    if (left !== undefined && time > left + this.drain) {
      this.found.push(`${id} reached ${target} ${time - left} ms after its farewell`);
    }
    const asked = this.asked.get(id);
    if (asked === undefined) this.found.push(`${id} ran at ${target} and nobody asked for it`);
    asked?.starts.push(time);
  }

  /** A daemon has acknowledged that a target leaves. */
  public leave(target: string, time: number): void {
    if (!this.leaving.has(target)) this.leaving.set(target, time);
  }

  /** A caller got an answer. */
  public answer(id: string, answer: CallerAnswer): void {
    const asked = this.asked.get(id);
    if (asked !== undefined) asked.answer = answer;
  }

  /** Broken promises; to be asked when nothing can run any more. */
  public violations(): string[] {
    const found = [...this.found];
    this.asked.forEach(({ isRepeatable, starts, answer }, id) => {
      if (!isRepeatable && starts.length > 1) found.push(`${id} ran ${starts.length} times`);
      if (answer === undefined) return;
      const { status, body, isSigned } = answer;
      if (promises.has(status) && starts.length > 0) {
        found.push(`${id} was refused with ${status} and ran`);
      }
      if (status === notFound) found.push(`${id} was told that there is no route`);
      if (status >= firstError) return;
      if (!isSigned || body !== expectedBody(id)) {
        found.push(`${id} got an answer that is not its own or not whole: ${body.slice(0, 40)}`);
      }
      if (starts.length === 0) found.push(`${id} was answered and did not run`);
    });
    return found;
  }
}
