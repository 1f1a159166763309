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
 * Counts the collection entries reachable from an object through the fields of this project's
 * classes. Tests use it to find entries that are never removed, and to bound memory use.
 */
final class CollectionEntryCounter {
  private static final String PROJECT_PACKAGE = "org.oakwalk.";

  private record ReachedObject(String fieldName, Object object) {}

  private final Map<String, Integer> entries = new TreeMap<>();
  private final Set<Object> visited = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Deque<ReachedObject> pending = new ArrayDeque<>();

  private CollectionEntryCounter() {}

  /**
   * Returns the total number of entries in each field's collections, with "Class.field" as the key.
   */
  static Map<String, Integer> countEntries(Object root) throws IllegalAccessException {
    CollectionEntryCounter counter = new CollectionEntryCounter();
    counter.enqueue("", root);
    while (!counter.pending.isEmpty()) {
      ReachedObject reached = counter.pending.poll();
      counter.visit(reached.fieldName(), reached.object());
    }
    return counter.entries;
  }

  /** Reads a field regardless of its visibility. */
  static Object readField(Object object, String name) throws ReflectiveOperationException {
    Field field = object.getClass().getDeclaredField(name);
    field.setAccessible(true);
    return field.get(object);
  }

  /** Calls a method without parameters regardless of its visibility. */
  static Object invoke(Object object, String name) throws ReflectiveOperationException {
    Method method = object.getClass().getDeclaredMethod(name);
    method.setAccessible(true);
    return method.invoke(object);
  }

  private void enqueue(String fieldName, Object object) {
    if (object != null && visited.add(object)) {
      pending.add(new ReachedObject(fieldName, object));
    }
  }

  private void visit(String fieldName, Object object) throws IllegalAccessException {
    if (object instanceof Collection<?> collection) {
      entries.merge(fieldName, collection.size(), Integer::sum);
      collection.forEach(each -> enqueue(fieldName, each));
    } else if (object instanceof Map<?, ?> map) {
      entries.merge(fieldName, map.size(), Integer::sum);
      map.keySet().forEach(key -> enqueue(fieldName, key));
      map.values().forEach(value -> enqueue(fieldName, value));
    } else if (object instanceof Optional<?> optional) {
      optional.ifPresent(value -> enqueue(fieldName, value));
    } else if (object.getClass().isArray() && !object.getClass().componentType().isPrimitive()) {
      for (int i = 0; i < Array.getLength(object); i++) {
        enqueue(fieldName, Array.get(object, i));
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
