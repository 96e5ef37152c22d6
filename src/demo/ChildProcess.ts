import { spawn, type ChildProcess as NodeChild } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { FleetError, type Disposable } from '../api/index.js';

const stopTimeoutMs = 30_000;

/** Path of the compiled main module of a binary. */
export function binaryPath(name: 'daemon' | 'store' | 'target' | 'cli'): string {
  return fileURLToPath(new URL(`../${name}/main.js`, import.meta.url));
}

/** Child process of the demo, with its captured output. Daemons themselves never start processes. */
export class ChildProcess implements Disposable {
  private readonly child: NodeChild;

  private output = '';

  public constructor(
    public readonly name: string,
    file: string,
    args: readonly string[],
  ) {
    this.child = spawn(process.execPath, [file, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
    const appendOutput = (chunk: Buffer): void => {
      this.output += chunk.toString();
    };
    this.child.stdout?.on('data', appendOutput);
    this.child.stderr?.on('data', appendOutput);
  }

  /** Process id. */
  public get id(): number {
    return this.child.pid ?? 0;
  }

  /** Output of the process so far, standard output and standard error. */
  public get text(): string {
    return this.output;
  }

  /** Resolves when the output matches; throws `FleetError` if the process exits first. */
  public async waitFor(pattern: RegExp): Promise<RegExpMatchArray> {
    for (;;) {
      const match = this.output.match(pattern);
      if (match !== null) return match;
      const { exitCode, signalCode } = this.child;
      if (exitCode !== null || signalCode !== null) {
        const cause = signalCode === null ? `with code ${exitCode}` : `by ${signalCode}`;
        throw new FleetError(`process exited ${cause}: ${this.output}`, {
          step: 'demo.start',
          peer: this.name,
        });
      }
      await Promise.race([
        once(this.child.stdout as NodeJS.EventEmitter, 'data'),
        once(this.child, 'exit'),
      ]);
    }
  }

  /** Waits for the process to exit and returns its exit code, or -1 after a signal. */
  public async wait(): Promise<number> {
    if (this.child.exitCode === null && this.child.signalCode === null) {
      await once(this.child, 'exit');
    }
    return this.child.exitCode ?? -1;
  }

  /** Sends a signal. */
  public signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Sends SIGTERM; kills the process if it does not exit within `stopTimeoutMs`. */
  public async stop(): Promise<void> {
    const timer = setTimeout(() => this.child.kill('SIGKILL'), stopTimeoutMs);
    this.child.kill('SIGTERM');
    await this.wait();
    clearTimeout(timer);
  }

  public dispose(): void {
    this.child.kill('SIGKILL');
  }
}
