import { connect } from 'node:net';

/** Milliseconds to connect on the own VM. */
const connectTimeout = 400;

/** Whether something listens at `host:port`; never rejects. */
export function canConnect(address: string): Promise<boolean> {
  const [host = '', port = ''] = address.split(/:(?=\d+$)/);
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    const finish = (isOpen: boolean): void => {
      socket.destroy();
      resolve(isOpen);
    };
    socket.setTimeout(connectTimeout, () => finish(false));
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}
