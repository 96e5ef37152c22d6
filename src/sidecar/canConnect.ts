import { connect } from 'node:net';

/** Connect timeout in milliseconds on the same VM. */
const connectTimeout = 400;

/** Whether a connection to `host:port` succeeds; never rejects. */
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
