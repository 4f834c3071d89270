package org.plantainloom.program.node;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.jboss.logging.Logger;

/**
 * Handles SIGHUP, which would otherwise end the process. The JDK has no supported class for
 * signals; the unsupported one is reached by reflection, as the compiler warns of it at each direct
 * use.
 */
final class HangupSignal {
  private static final Logger LOG = Logger.getLogger(HangupSignal.class);

  private HangupSignal() {}

  static void onSignal(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) -> {
                if (method.getName().equals("handle")) {
                  action.run();
                }
                return null;
              });
      Object hangup = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
    } catch (ClassNotFoundException
        | NoSuchMethodException
        | InstantiationException
        | IllegalAccessException
        | InvocationTargetException e) {
      LOG.warn("SIGHUP is not handled", e);
    }
  }
}
