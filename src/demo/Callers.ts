import { randomUUID } from 'node:crypto';
import { Agent, request, type Dispatcher } from 'undici';
import type { Disposable, RandomSource } from '../api/index.js';
import { createContent } from '../target/TargetServer.js';
import type { CallerAnswer, RequestKind } from './Types.js';

const requestTimeout = 20_000;
const keepAliveTimeout = 4_000;

/** Sends requests of callers to several daemons and checks that each answer is whole and its own. */
export class Callers implements Disposable {
  private readonly agent = new Agent({ connections: 64, keepAliveTimeout });

  private serial = 0;

  public constructor(
    private readonly daemons: () => readonly string[],
    private readonly kinds: readonly RequestKind[],
    private readonly random: RandomSource,
  ) {}

  /** Sends `count` requests with at most `parallel` at a time. */
  public async run(count: number, parallel: number): Promise<CallerAnswer[]> {
    const answers: CallerAnswer[] = [];
    let left = count;
    const worker = async (): Promise<void> => {
      while (left > 0) {
        left -= 1;
        answers.push(await this.call(this.pickKind()));
      }
    };
    await Promise.all(Array.from({ length: parallel }, worker));
    return answers;
  }

  /** Sends one request; a non-idempotent one carries `key`, a fresh one if none is given. */
  public async call(kind: RequestKind, key: string = randomUUID()): Promise<CallerAnswer> {
    this.serial += 1;
    const path = `${kind.path}/${this.serial}`;
    const started = performance.now();
    const isWrite = kind.method === 'POST';
    const sent = isWrite ? Buffer.from(`order ${key}`) : undefined;
    try {
      const response = await request(this.urlOf(kind, path), {
        method: kind.method,
        headers: isWrite ? { 'idempotency-key': key } : {},
        body: sent ?? null,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(requestTimeout),
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      const expected = sent ?? createContent(path, kind.size);
      const result = Callers.judge(response, body, expected);
      const duration = performance.now() - started;
      return {
        kind,
        status: response.statusCode,
        duration,
        result,
        key: isWrite ? key : undefined,
      };
    } catch {
      const duration = performance.now() - started;
      return { kind, status: 0, duration, result: 'unknown', key: isWrite ? key : undefined };
    }
  }

  public dispose(): void {
    void this.agent.destroy();
  }

  private static judge(
    response: Dispatcher.ResponseData,
    body: Buffer,
    expected: Buffer,
  ): CallerAnswer['result'] {
    if (response.statusCode === 200) return body.equals(expected) ? 'done' : 'wrong';
    return response.headers['limpettrack-outcome'] === 'not-run' ? 'not-run' : 'unknown';
  }

  private urlOf(kind: RequestKind, path: string): string {
    const daemons = this.daemons();
    const daemon = daemons[Math.floor(this.random() * daemons.length)] ?? '';
    return `http://${daemon}${path}?size=${kind.size}&work=${kind.work}`;
  }

  private pickKind(): RequestKind {
    let point = this.random();
    const kind = this.kinds.find(({ share }) => {
      point -= share;
      return point < 0;
    });
    return kind ?? (this.kinds[0] as RequestKind);
  }
}
