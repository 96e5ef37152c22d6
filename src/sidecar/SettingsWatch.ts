import { readFileSync } from 'node:fs';
import { isLeft } from 'fp-ts/lib/Either.js';
import type { Clock, Disposable, LogSink } from '../api/index.js';
import { parseSidecarSettings, type SidecarSettings } from './Settings.js';

/** Milliseconds between checks of the file, which can change without a signal. */
const checkInterval = 2_000;

/** Watches the settings file and reports each valid change. */
export class SettingsWatch implements Disposable {
  private timer: Disposable | undefined;

  /** `content` is that of the settings in force, so that a change during the start is found. */
  public constructor(
    private readonly file: string,
    private content: string,
    private readonly clock: Clock,
    private readonly log: LogSink,
    private readonly onChange: (settings: SidecarSettings) => void,
    private readonly read: (file: string) => string = (path) => readFileSync(path, 'utf8'),
  ) {}

  /** Starts checking the file periodically. */
  public start(): void {
    this.timer = this.clock.after(checkInterval, () => {
      this.check('timer');
      this.start();
    });
  }

  /** Checks the file now. */
  public check(cause: 'timer' | 'signal'): void {
    try {
      const content = this.read(this.file);
      if (cause === 'signal') this.write('info', 'received a signal to reload the settings');
      if (content === this.content) return;
      this.content = content;
      const parsed = parseSidecarSettings(this.file, content);
      if (isLeft(parsed)) {
        this.write(
          'error',
          'the changed settings are invalid; keeping the previous settings',
          parsed.left.message,
        );
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
