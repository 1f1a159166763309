package org.oakwalk.daemon;

import org.apache.commons.rng.simple.RandomSource;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.oakwalk.adapter.HttpCaller;
import org.oakwalk.adapter.HttpListener;
import org.oakwalk.adapter.OutboundRequests;
import org.oakwalk.core.Controller;
import org.oakwalk.core.Policy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running node: the core, its event loop and its connections. */
public final class Daemon implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
  private static final int MOST_THREADS = 10;
  private static final int LEAST_THREADS = 4;
  private static final int LARGEST_POOL = 6 << 20;

  private final EventLoop loop;
  private final Thread thread;
  private final HttpCaller caller;
  private final HttpListener listener;

  /** Starts a node. */
  public Daemon(PlatformSettings settings, Policy policy) throws Exception {
    QueuedThreadPool threads = new QueuedThreadPool(MOST_THREADS, LEAST_THREADS);
    threads.setReservedThreads(0);
    threads.setName("io");
    threads.setDaemon(true);
    threads.start();
    ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timer", true);
    scheduler.start();
    ByteBufferPool buffers =
        new ArrayByteBufferPool(0, 2048, 65536, 64, LARGEST_POOL, LARGEST_POOL);
    String incarnation =
        settings.core().node()
            + "-"
            + Long.toHexString(System.currentTimeMillis())
            + Long.toHexString(RandomSource.createLong());
    loop = new EventLoop(new Controller(settings.core(), policy, incarnation));
    caller =
        new HttpCaller(threads, scheduler, buffers, settings.sockets(), settings.peers().values());
    OutboundRequests outside =
        new OutboundRequests(
            caller,
            new OutboundRequests.ServiceAddresses(
                settings.state(), settings.cloud(), settings.peers()),
            settings.core(),
            settings.sockets(),
            loop::later,
            EventLoop.steadyMillis());
    listener =
        new HttpListener(
            threads,
            scheduler,
            buffers,
            settings.serveOn(),
            settings.peerListen(),
            settings.sockets(),
            loop::offer);
    loop.connect(outside, listener);
    listener.start();
    thread = new Thread(loop, "core");
    thread.start();
    LOG.info("node {} serves on {}", settings.core().node(), settings.serveOn());
  }

  /** The port for users and workers. */
  public int frontPort() {
    return listener.clientPort();
  }

  /** Waits until the node is stopped. */
  public void await() throws InterruptedException {
    thread.join();
  }

  @Override
  public void close() {
    loop.stop();
    listener.close();
    caller.close();
  }
}
