package org.plantainloom.program.node;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.jboss.logging.Logger;

/**
 * Handles SIGHUP, which would otherwise end the process.
 *
 * <p>The JDK has no supported API for signals. {@code sun.misc.Signal} is called by reflection, as
 * the compiler warns at each direct use of it.
 */
final class HangupSignal {
  private static final Logger LOG = Logger.getLogger(HangupSignal.class);

  private HangupSignal() {}

  /** Runs an action at each SIGHUP. */
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
      LOG.warn("could not install a SIGHUP handler; the signal will end the process", e);
    }
  }
}
