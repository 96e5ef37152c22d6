import { FleetError } from '../base/index.js';

/** Named implementations of one extension point. Plug-ins register themselves when they are imported. */
export class Registry<Plugin> {
  private readonly plugins = new Map<string, Plugin>();

  public constructor(public readonly extensionPoint: string) {}

  /** Registers a plug-in; throws `FleetError` if the name is taken. */
  public register(name: string, plugin: Plugin): void {
    if (this.plugins.has(name)) {
      throw new FleetError(`${this.extensionPoint} plug-in "${name}" is registered twice`, {
        step: 'kernel.register',
      });
    }
    this.plugins.set(name, plugin);
  }

  /** Returns a plug-in; throws a `FleetError` that lists the known names if there is none. */
  public get(name: string): Plugin {
    const plugin = this.plugins.get(name);
    if (plugin === undefined) {
      const known = this.names().join(', ');
      throw new FleetError(`no ${this.extensionPoint} plug-in "${name}"; known: ${known}`, {
        step: 'kernel.get',
      });
    }
    return plugin;
  }

  /** Names of the registered plug-ins, sorted. */
  public names(): string[] {
    return [...this.plugins.keys()].sort();
  }
}
