/** All plug-ins of the daemon. Each registers itself on import. */
import '../../addons/log-consola/ConsolaSink.js';
import '../../addons/store-etcd/index.js';
