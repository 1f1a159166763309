package org.oakwalk.scenario;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Counts what an object keeps, through all fields of our own classes: how many entries there are in
 * the collections of each field.
 */
final class CollectionEntryCounter {
  private static final String PROJECT_PACKAGE = "org.oakwalk.";

  private record ReachedObject(String fieldName, Object object) {}

  private final Map<String, Integer> entries = new TreeMap<>();
  private final Set<Object> visited = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Deque<ReachedObject> pending = new ArrayDeque<>();

  private CollectionEntryCounter() {}

  /** How many entries each field's collections have together, by class and field. */
  static Map<String, Integer> countEntries(Object root) throws IllegalAccessException {
    CollectionEntryCounter census = new CollectionEntryCounter();
    census.enqueue("", root);
    while (!census.pending.isEmpty()) {
      ReachedObject reached = census.pending.poll();
      census.visit(reached.fieldName(), reached.object());
    }
    return census.entries;
  }

  /** The value of a field, whoever may see it. */
  static Object readField(Object of, String name) throws ReflectiveOperationException {
    Field field = of.getClass().getDeclaredField(name);
    field.setAccessible(true);
    return field.get(of);
  }

  /** What a method without parameters returns, whoever may call it. */
  static Object invoke(Object on, String name) throws ReflectiveOperationException {
    Method method = on.getClass().getDeclaredMethod(name);
    method.setAccessible(true);
    return method.invoke(on);
  }

  private void enqueue(String by, Object object) {
    if (object != null && visited.add(object)) {
      pending.add(new ReachedObject(by, object));
    }
  }

  private void visit(String by, Object object) throws IllegalAccessException {
    if (object instanceof Collection<?> collection) {
      entries.merge(by, collection.size(), Integer::sum);
      collection.forEach(each -> enqueue(by, each));
    } else if (object instanceof Map<?, ?> map) {
      entries.merge(by, map.size(), Integer::sum);
      map.keySet().forEach(key -> enqueue(by, key));
      map.values().forEach(value -> enqueue(by, value));
    } else if (object instanceof Optional<?> optional) {
      optional.ifPresent(value -> enqueue(by, value));
    } else if (object.getClass().isArray() && !object.getClass().componentType().isPrimitive()) {
      for (int i = 0; i < Array.getLength(object); i++) {
        enqueue(by, Array.get(object, i));
      }
    } else if (object.getClass().getName().startsWith(PROJECT_PACKAGE)
        && !(object instanceof Enum)) {
      for (Class<?> type = object.getClass(); type != null; type = type.getSuperclass()) {
        for (Field field : type.getDeclaredFields()) {
          if (!Modifier.isStatic(field.getModifiers()) && !field.getType().isPrimitive()) {
            field.setAccessible(true);
            enqueue(type.getSimpleName() + "." + field.getName(), field.get(object));
          }
        }
      }
    }
  }
}
