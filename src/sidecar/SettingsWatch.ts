import { readFileSync } from 'node:fs';
import { isLeft } from 'fp-ts/lib/Either.js';
import type { Clock, Disposable, LogSink } from '../api/index.js';
import { parseSidecarSettings, type SidecarSettings } from './Settings.js';

/** Milliseconds between two looks at the file, which can change without a signal. */
const interval = 2_000;

/** Follows the settings file and passes on each changed content that is valid. */
export class SettingsWatch implements Disposable {
  private content: string;

  private timer: Disposable | undefined;

  public constructor(
    private readonly file: string,
    private readonly clock: Clock,
    private readonly log: LogSink,
    private readonly onChange: (settings: SidecarSettings) => void,
    private readonly read: (file: string) => string = (path) => readFileSync(path, 'utf8'),
  ) {
    this.content = read(file);
  }

  /** Looks at the file from time to time. */
  public start(): void {
    this.timer = this.clock.after(interval, () => {
      this.check('timer');
      this.start();
    });
  }

  /** Looks at the file now. */
  public check(cause: 'timer' | 'signal'): void {
    try {
      const content = this.read(this.file);
      if (cause === 'signal') this.write('info', 'asked to read the settings again');
      if (content === this.content) return;
      this.content = content;
      const parsed = parseSidecarSettings(this.file, content);
      if (isLeft(parsed)) {
        this.write('error', 'the changed settings are wrong and not used', parsed.left.message);
      } else {
        this.onChange(parsed.right);
      }
    } catch (error) {
      this.write('error', 'the settings file cannot be read', String(error));
    }
  }

  public dispose(): void {
    this.timer?.dispose();
  }

  private write(level: 'info' | 'error', message: string, error?: string): void {
    const fields = { step: 'settings.watch', file: this.file, error };
    this.log.write({ level, kind: 'lifecycle', message, fields });
  }
}
